#!/bin/sh
# Installs the missing packages of packages.txt (Debian 12).
set -eu
list=$(grep -v '^#' "$(dirname "$0")/../packages.txt")
missing=""
for package in $list; do
    dpkg-query -W -f '${Status}' "$package" 2>/dev/null | grep -q '^install ok installed' || missing="$missing $package"
done
[ -z "$missing" ] && exit 0
echo "installing:$missing"
sudo=""
[ "$(id -u)" = 0 ] || sudo=sudo
$sudo apt-get update -q > /dev/null
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -q --no-install-recommends $missing > /dev/null
