#!/bin/sh
# Builds the stand-ins of the scripts of the third review, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
javac --release 17 -d target/review-3 review/standins-3/*.java
