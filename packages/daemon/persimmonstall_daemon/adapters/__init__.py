"""HTTP clients of the external systems that persimmonstall uses, one module each."""
