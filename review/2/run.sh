#!/usr/bin/env bash
# Plays the case "restart" and writes record.txt beside this file. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
# With TROUBLE=0 the disruption is left out. Needs the deploy file's build and review/build.sh.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/standin ] && [ -x ../../bin/elmseam ] || { echo "run the build of the deploy file and review/build.sh first" >&2; exit 2; }
timeout -k 3 110 ../bin/standin restart record.txt
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
