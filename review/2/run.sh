#!/usr/bin/env bash
# Exits with 1 if a stream was made from the KV cache of another request.
exec python3 -B "$(dirname "$0")/case.py"
