"""Database groups: members, their log positions, connections and primaries."""
