"""The operator's surface: the command line, structured logs and metrics."""
