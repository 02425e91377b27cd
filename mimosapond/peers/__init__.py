"""Other hosts: who they are, and work that they carry out for this host.

A host that cannot reach a primary, or gets no connection to it, passes work on
to a host that can. Requests between hosts are HTTP with JSON bodies.
"""
