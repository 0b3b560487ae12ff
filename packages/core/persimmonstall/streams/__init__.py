"""Assembly of whole answers from frames of several attempts."""
