"""Every decision about engine, retry and rejection; free of I/O."""
