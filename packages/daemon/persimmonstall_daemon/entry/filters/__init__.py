"""The filters of the pipeline, one module each."""
