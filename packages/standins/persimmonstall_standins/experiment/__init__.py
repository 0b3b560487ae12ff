"""Experiments on a fleet in virtual time: mixes of requests, faults and their figures."""
