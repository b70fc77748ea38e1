#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start: one program a case, of the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for main in review/{6,7,8,9,10}/main.rs; do
    [ -e "$main" ] || continue
    case="$(basename "$(dirname "$main")")"
    rustc --edition 2024 -O -A dead_code -o "target/review-2/case-$case" "$main"
done
