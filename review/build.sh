#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/. The daemon comes from the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
flags=(-std=c++20 -O1 -pthread -I. -Wall)
parts=(wire store record router client engine installation order_flow store_path)
cases=(stalled_orders endless_body large_bodies leaving_after_cut)
pids=()
for name in "${parts[@]}" "${cases[@]}"; do
    g++ "${flags[@]}" -c "review/standins/$name.cpp" -o "target/review/$name.o" &
    pids+=($!)
done
for pid in "${pids[@]}"; do
    wait "$pid"
done
objects=()
for name in "${parts[@]}"; do
    objects+=("target/review/$name.o")
done
for name in "${cases[@]}"; do
    g++ -pthread -o "target/review/$name" "target/review/$name.o" "${objects[@]}"
done
