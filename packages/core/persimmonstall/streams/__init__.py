"""Sending and reassembly of an answer's tokens over one or more attempts."""
