"""Failover: detection of a lost primary and promotion of a replica.

No acknowledged commit is lost in a failover.
"""
