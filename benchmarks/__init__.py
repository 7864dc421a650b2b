"""Measurements of the program that tests do not assert."""
