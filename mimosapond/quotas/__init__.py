"""Quotas of workspaces, counted over all hosts."""
