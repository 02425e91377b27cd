"""A database group on the platform's wire, in one process and in memory."""
