"""The list service: endpoints with leases, a version per change, kept on disk."""
