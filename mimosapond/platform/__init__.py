"""Adapter to the users' platform: its names, formats and calls.

Messages are decoded here, once, into the product's types. Nothing in this
package decides; decisions are in the packages beside it.
"""
