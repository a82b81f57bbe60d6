"""How fast each upstream is now, measured by the work that it did."""
