#!/usr/bin/env bash
# Plays the case in folder $1. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case couldn't run.
set -u
timeout --signal=TERM --kill-after=5 118 python3 "$1/case.py"
case $? in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
