"""Experiments on a fleet in virtual time: workloads, faults and measured figures."""
