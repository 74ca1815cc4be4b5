#!/bin/sh
cd "$(dirname "$0")/../.." && exec python3 review/10/run.py
