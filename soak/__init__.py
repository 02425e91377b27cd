"""Live test: hosts as processes, under faults, with the answers checked."""
