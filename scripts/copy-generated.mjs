// Copies the committed generated JavaScript beside the compiled sources.
import { copyFileSync, mkdirSync, readdirSync } from 'node:fs';

mkdirSync('dist/src/peer/generated', { recursive: true });
for (const name of readdirSync('src/peer/generated')) {
  copyFileSync(`src/peer/generated/${name}`, `dist/src/peer/generated/${name}`);
}
