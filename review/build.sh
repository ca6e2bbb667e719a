#!/usr/bin/env bash
# Builds every stand-in that the cases start. Needs the JDK of the project's own build, and no network.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf build
mkdir -p build
javac -Xlint:all -d build standins/*.java
