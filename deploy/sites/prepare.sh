#!/usr/bin/env bash
# Links the files that the bench wants beside a site file into this folder.
# Usage: deploy/sites/prepare.sh [FOLDER]
set -euo pipefail

readonly companion_files=(wire.json real.json unlock.txt)
readonly default_folders=(../given/kit/more/mass/other ../given/kit/sites)

sites_folder=$(cd "$(dirname "$0")" && pwd)
repository=$(cd "$sites_folder/../.." && pwd)

if (($# > 1)); then
    echo "usage: deploy/sites/prepare.sh [FOLDER]" >&2
    exit 2
fi

source_folder=""
if (($# == 1)); then
    source_folder=$1
else
    for folder in "${default_folders[@]}"; do
        if [[ -d $repository/$folder ]]; then
            source_folder=$repository/$folder
            break
        fi
    done
fi
if [[ -z $source_folder ]]; then
    echo "no folder with ${companion_files[*]}: looked in ${default_folders[*]}; name one" >&2
    exit 1
fi
if [[ ! -d $source_folder ]]; then
    echo "missing folder: $source_folder" >&2
    exit 1
fi
source_folder=$(cd "$source_folder" && pwd)

missing=0
for file in "${companion_files[@]}"; do
    if [[ -f $source_folder/$file ]]; then
        ln -sfn "$source_folder/$file" "$sites_folder/$file"
    else
        echo "missing file: $source_folder/$file" >&2
        missing=1
    fi
done
if ((missing)); then
    exit 1
fi
echo "linked ${companion_files[*]} from $source_folder"
