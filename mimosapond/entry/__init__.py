"""Lifecycle of the process of one host: start, readiness, graceful stop."""
