"""The tests of the package, and the helpers that they share."""
