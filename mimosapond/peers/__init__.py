"""Discovery of other hosts and relaying of work between hosts.

A host that cannot reach a primary, or gets no connection to it, relays work
through a host that can. Requests between hosts are HTTP with JSON bodies.
"""
