"""Nights: scripts and their draws, the world that plays them, its rules, what is planted in it, and exploration."""
