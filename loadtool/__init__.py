"""Load and experiment tool: runs deployments, workloads and measures."""
