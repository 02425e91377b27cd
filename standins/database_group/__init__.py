"""Simulated database group with the wire protocol of the platform.

All members run in one process and keep their data in memory.
"""
