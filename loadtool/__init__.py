"""Load tool: runs deployments, client loads, measures and benchmarks."""
