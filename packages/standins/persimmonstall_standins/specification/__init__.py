"""Specifications of the core protocols for the model checker; proof code, not the product."""
