#!/usr/bin/env bash
# Compares two versions of the sidecar on the users' bench: plays each day with each seed once with
# either version, without charging processor time, and prints the worth of both, the differences,
# and their mean with its standard error. Full output goes to results/compare.
# Usage: scripts/compare.sh FLEETBENCH WHY OLD NEW SITE DAY...
#   OLD, NEW          checkouts of the versions to compare
#   DAY               name of a standard day of SITE, or a TOML file
#   COMPARE_SEEDS     seeds; "day" is that of the day itself (default: day)
#   COMPARE_JOBS      plays at the same time (default: half of the cores)
set -euo pipefail
usage() {
    sed -n '2,10s/^# \{0,1\}//p' "$0" >&2
    exit 2
}
[ $# -ge 6 ] || usage
bench=$(realpath "$1")
why=$2
old=$(realpath "$3")
new=$(realpath "$4")
site=$(realpath "$5")
shift 5
for path in "$old/deploy/system.toml" "$new/deploy/system.toml" "$site"; do
    [ -f "$path" ] || { echo "compare: no such file: $path" >&2; exit 2; }
done
for day in "$@"; do
    [ -f "$day" ] || grep -qE "^name = \"$day\"$" "$site" ||
        { echo "compare: no day '$day' in $site" >&2; exit 2; }
done
jobs=${COMPARE_JOBS:-$((($(nproc) + 1) / 2))}
out=$PWD/results/compare
mkdir -p "$out"

play() { # LABEL VERSION DAY SEED
    local seed=()
    [ "$4" = day ] || seed=(--seed "$4")
    local log
    log=$out/$(basename "$site" .toml)-$(basename "$3" .toml)-$4-$1.txt
    (cd "$2" && "$bench" run "$site" "$3" "${seed[@]}" --no-cpu --jobs 1 --why "$why") >"$log" 2>&1 ||
        echo "compare: a rule was broken or the play failed: $log" >&2
    echo "played: $(basename "$site" .toml) $3, seed $4, $1" >&2
}
export -f play
export bench why site out

for version in "$old" "$new"; do
    (cd "$version" && "$bench" build >"$out/build.txt" 2>&1) ||
        { echo "compare: build failed: $out/build.txt" >&2; exit 1; }
done
for day in "$@"; do
    for seed in ${COMPARE_SEEDS:-day}; do
        printf '%s\n' "old $old $day $seed" "new $new $day $seed"
    done
done | xargs -P "$jobs" -L 1 bash -c 'play "$@"' _

worth_of() { # DAY SEED LABEL
    awk '/^worth [0-9.]+ = / { print $2; exit }' \
        "$out/$(basename "$site" .toml)-$(basename "$1" .toml)-$2-$3.txt"
}
for day in "$@"; do
    for seed in ${COMPARE_SEEDS:-day}; do
        echo "$(basename "$day" .toml) $seed $(worth_of "$day" "$seed" old) $(worth_of "$day" "$seed" new)"
    done
done | awk '
    { if (NF < 4) { printf "%-24s %-8s not played\n", $1, $2; failed = 1; next }
      d = $4 - $3; sum += d; squares += d * d; n++
      printf "%-24s %-8s %.3f  %.3f  %+.3f\n", $1, $2, $3, $4, d }
    END { if (n) { mean = sum / n
          error = n > 1 ? sqrt((squares - n * mean * mean) / (n - 1) / n) : 0
          printf "%-24s %-8s mean difference %+.4f, standard error %.4f, %d pairs\n", "", "", mean, error, n }
          exit failed }'
