"""Structured logs and metrics of a process, for its operators."""
