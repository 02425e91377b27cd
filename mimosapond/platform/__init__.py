"""Adapter to the users' platform: its names, formats and calls.

This package decodes each message of the platform into the product's types, so
that no other package handles the platform's formats. Routing, failover and
session logic is in the other packages.
"""
