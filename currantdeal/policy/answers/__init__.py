"""How answers end, whose they are, and what a reset leaves unknown."""
