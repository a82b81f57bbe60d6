"""The dialect of the machines that the deployments run on.

Names, formats and calls stand here and nowhere else, decoded once into the
product's own types.  Nothing here decides anything.
"""
