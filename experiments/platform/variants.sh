#!/usr/bin/env bash
# Makes copies of a site file of the users' bench that are smaller, weaker or
# tighter, each in a folder of its own under OUT, and prints their paths. The site
# files themselves are not kept in this repository.
#
#   variants.sh SITE.toml OUT
set -euo pipefail

if [ $# -ne 2 ]; then
  echo "usage: variants.sh SITE.toml OUT" >&2
  exit 2
fi
site=$1 out=$2
name=$(basename "$site" .toml)

# variant NAME SED-PROGRAM: a copy of the site that the program has edited.
variant() {
  local folder=$out/$1
  mkdir -p "$folder"
  cp "$(dirname "$site")"/{wire.json,CUT,"$name".days} "$folder/"
  sed -E "$2" "$site" > "$folder/$name.toml"
  if cmp -s "$site" "$folder/$name.toml"; then
    echo "variant $1 changes nothing" >&2
    exit 1
  fi
  echo "$folder/$name.toml"
}

one_machine='/class = "front"/s/, count = [0-9]+/, count = 1/'
weak='/class = "front"/s/cpu_share = [0-9.]+/cpu_share = 0.08/'
two_slots='/pause_ms/s/slots = [0-9]+/slots = 2/'
few_connections='s/conn_cap = 31/conn_cap = 15/; s/conn_cap = 110/conn_cap = 55/'
long_pauses='s/pause_ms = [0-9.]+/pause_ms = 500.0/'

variant three-machines "$one_machine"
variant weak "$weak"
variant two-slots "$two_slots"
variant few-connections "$few_connections"
variant long-pauses "$long_pauses"
variant many-shards 's/copies = (10|15),/copies = 24,/'
variant slow-store 's/writes_per_s = .*/writes_per_s = 30.0/; s/reads_per_s = .*/reads_per_s = 60.0/'
variant one-region 's/region = "[a-z]+"/region = "estrie"/'
variant weak-and-tight "$weak; $two_slots; $few_connections"
