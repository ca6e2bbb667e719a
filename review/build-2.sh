#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases review/6 to review/10, into target/review-2; needs a JDK 17.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
sources=(review/kit-2/*.java)
for number in 6 7 8 9 10; do
    for source in review/"$number"/*.java; do
        [ -f "$source" ] && sources+=("$source")
    done
done
javac -Xlint:all -d target/review-2 "${sources[@]}"
