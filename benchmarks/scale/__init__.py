"""The scale run: measures how the cost of the program grows towards the size expected in two years."""
