"""All interleavings of pure cores in small scopes."""
