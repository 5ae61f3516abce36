#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
# What was sent, answered and run is written to record.txt beside this file, anew with each run.
cd "$(dirname "$0")" || exit 2
command -v python3 > /dev/null || { echo "cannot run: no python3" > record.txt; exit 2; }
: > record.txt
exec env PYTHONDONTWRITEBYTECODE=1 python3 case.py record.txt
