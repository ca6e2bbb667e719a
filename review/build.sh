#!/bin/sh
# Builds the stand-ins that the cases start. Needs a JDK 17 and nothing else.
set -eu
cd "$(dirname "$0")"
rm -rf classes
mkdir classes
javac -Xlint:all,-try -Werror -d classes parties/*.java
