# Sourced by run.sh of a case: runs its program with a temporary folder. Exit code 1: the rule was broken, 0: it held, 2: not run.
case_folder=$(cd "$(dirname "$0")" && pwd)
review=$(dirname "$case_folder")
cd "$review/.."
program="$PWD/target/medlarramp"
driver="$PWD/target/review/case-$(basename "$case_folder")"
[ -x "$program" ] && [ -x "$driver" ] || { echo "build first: the build of deploy/system.toml, and review/build.sh" >&2; exit 2; }
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout --kill-after=5 115 "$driver" "$program" "$case_folder" "$folder"
result=$?
[ $result -le 2 ] || result=2
[ -z "${KEEP_LOGS:-}" ] || cp -r "$folder" "$KEEP_LOGS"
exit $result
