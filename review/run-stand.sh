#!/usr/bin/env bash
# Runs a case built on stand.h. Usage: review/run-stand.sh FOLDER
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
folder=$(cd "$1" && pwd) || exit 2
cd "$folder/../.." || exit 2
program=target/review-2/case-$(basename "$folder")
if [ ! -x "$program" ] || [ ! -x target/medlarramp ]; then
    echo "build the deploy file's programs and run review/build-2.sh first" >&2
    exit 2
fi
# timeout makes a process group of its own, in which all processes of the case are.
timeout 115 "$program" "$folder/record.txt" &
group=$!
wait "$group"
code=$?
kill -KILL -- "-$group" 2>/dev/null
case $code in
0 | 1) exit "$code" ;;
*) exit 2 ;;
esac
