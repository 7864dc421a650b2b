"""Benchmarks: measurements that the tests do not assert."""
