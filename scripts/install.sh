#!/usr/bin/env bash
# Installs the build dependencies. The same package line stands in .ci/run.
set -euo pipefail
packages=(g++ cmake ninja-build clang-format clang-tidy libcpprest-dev libjsonrpccpp-dev libboost-dev libboost-system-dev libtomlplusplus-dev libgoogle-glog-dev catch2 librapidcheck-dev libmsgsl-dev libjsoncpp-dev libssl-dev libmsgpack-cxx-dev)
if dpkg -s "${packages[@]}" >/dev/null 2>&1; then
    exit 0
fi
apt-get update -qq
apt-get install -y "${packages[@]}"
