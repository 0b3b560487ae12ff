"""Decision logic of the persimmonstall serving layer.

Nothing here opens sockets, reads clocks or draws random numbers.
"""

__version__ = "0.1.0"
