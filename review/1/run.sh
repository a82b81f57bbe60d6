#!/usr/bin/env bash
# Exits with 1 if a booking ran twice, or ran although it was refused.
exec python3 -B "$(dirname "$0")/case.py"
