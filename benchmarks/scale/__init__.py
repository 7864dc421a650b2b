"""The scale run: what the program costs at the size of two years from now, measured as slopes."""
