"""The sidecar's network layer: sockets, timers and HTTP. All decisions are made in `woadyard.policy`."""
