"""What the cases share: processes by the deploy file's commands, HTTP, links with faults, the record."""
