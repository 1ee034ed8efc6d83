#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
compile=(g++ -std=c++20 -O1 -I.)
parts=(http store engine router deployment)
objects=("$out/base64.o")
jobs=()
await() {
    for job in "${jobs[@]}"; do wait "$job"; done
    jobs=()
}
"${compile[@]}" -c src/store/internal/base64.cpp -o "$out/base64.o" &
jobs+=($!)
for part in "${parts[@]}"; do
    "${compile[@]}" -c "review/standins-2/$part.cpp" -o "$out/$part.o" &
    jobs+=($!)
    objects+=("$out/$part.o")
done
await
for source in review/standins-2/*.cpp; do
    name=$(basename "$source" .cpp)
    [[ " ${parts[*]} " == *" $name "* ]] && continue
    "${compile[@]}" "$source" "${objects[@]}" -o "$out/$name" -lcrypto -lpthread &
    jobs+=($!)
done
await
