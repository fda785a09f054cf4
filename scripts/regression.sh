#!/usr/bin/env bash
# Plays the regression on the users' bench: a score of each site, then a hunt. Prints a table with the
# worth of each day, its change against the last run and the broken rules; full output goes to
# results/regression. Each play leaves its entry in journal/.
# Usage: scripts/regression.sh FLEETBENCH WHY SITE...
#   REGRESSION_JOBS   cores to use (default: half of them)
#   REGRESSION_DAYS   days of a hunt (default: 40; 8 from 60 machines on)
#   REGRESSION_HUNT   0 leaves the hunts out
set -euo pipefail
cd "$(dirname "$0")/.."
if [ $# -lt 3 ]; then
    sed -n '2,9s/^# \{0,1\}//p' "$0" >&2
    exit 2
fi
bench=$1
why=$2
shift 2
jobs=${REGRESSION_JOBS:-$((($(nproc) + 1) / 2))}
out=results/regression
mkdir -p "$out"
failed=0

machines_of() {
    grep -oE '^  \{ class = "side".* count = [0-9]+' "$1" | grep -oE '[0-9]+$' |
        awk '{ n += $1 } END { print n + 0 }'
}

# Prints the lines of days: name, worth, and the change since the score before.
report() {
    awk -v old="$2" '
        BEGIN { while ((getline line < old) > 0) { split(line, f); before[f[1]] = f[2] } }
        { change = ($1 in before) ? sprintf("%+.3f", $2 - before[$1]) : "new"
          printf "  %-24s worth %.3f  %s\n", $1, $2, change }' "$1"
}

for site in "$@"; do
    name=$(basename "$site" .toml)
    echo "$name"
    log=$out/$name.score.txt
    if ! "$bench" score "$site" --jobs "$jobs" --why "$why" >"$log" 2>&1; then
        failed=1
    fi
    awk '$2 ~ /^[0-9]+\/[0-9]+$/ && $1 !~ /^fresh/ { print $1, $4 }' "$log" >"$out/$name.new"
    report "$out/$name.new" "$out/$name.worth"
    awk '$1 !~ /^quiet/ { sum += $2; n++ } END { if (n) printf "  %-24s %.3f\n", "mean with trouble", sum / n }' \
        "$out/$name.new"
    if grep -q '^GATE passed' "$log"; then
        mv "$out/$name.new" "$out/$name.worth"
        echo "  gate passed"
    else
        failed=1
        echo "  gate not passed: $log"
    fi
    if [ "${REGRESSION_HUNT:-1}" = 0 ]; then
        continue
    fi
    days=${REGRESSION_DAYS:-$([ "$(machines_of "$site")" -lt 60 ] && echo 40 || echo 8)}
    log=$out/$name.hunt.txt
    if ! "$bench" hunt "$site" --days "$days" --jobs "$jobs" --why "$why" >"$log" 2>&1; then
        failed=1
    fi
    result=$(grep -E 'days? on .* with a rule broken' "$log" || echo "hunt not finished: $log")
    echo "  $result"
    if ! grep -qE ', 0 with a rule broken' <<<"$result"; then
        failed=1
    fi
done
exit "$failed"
