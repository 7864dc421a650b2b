"""What operators read of a process: structured logs and metrics."""
