/* Preloaded into a process: makes accept4 fail with the error number LB_TEST_ACCEPT_ERRNO, at every
   LB_TEST_ACCEPT_EVERY-th call, or at all calls while the file LB_TEST_ACCEPT_WHILE exists. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

typedef int (*accept4_function)(int, struct sockaddr *, socklen_t *, int);

static int fails_now(void)
{
    static int calls;
    const char *every = getenv("LB_TEST_ACCEPT_EVERY");
    const char *file = getenv("LB_TEST_ACCEPT_WHILE");

    if (every != NULL && __sync_add_and_fetch(&calls, 1) % atoi(every) == 0)
        return 1;
    return file != NULL && access(file, F_OK) == 0;
}

int accept4(int listener, struct sockaddr *address, socklen_t *length, int flags)
{
    accept4_function real = (accept4_function)dlsym(RTLD_NEXT, "accept4");

    if (fails_now()) {
        errno = atoi(getenv("LB_TEST_ACCEPT_ERRNO"));
        return -1;
    }
    return real(listener, address, length, flags);
}
